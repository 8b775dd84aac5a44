package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Results holds the tables of all scenarios, by scenario and policy.
type Results struct {
	Scenarios []string
	Tables    map[string]map[PolicyName]Table
}

// MeasureAll runs all scenarios of all mixes under all policies.
func MeasureAll(seed uint64) Results {
	r := Results{Tables: map[string]map[PolicyName]Table{}}
	for _, m := range Mixes() {
		for _, s := range Scenarios(m, seed) {
			r.Scenarios = append(r.Scenarios, s.Name)
			r.Tables[s.Name] = map[PolicyName]Table{}
			for _, p := range Policies() {
				r.Tables[s.Name][p] = Measure(s, p)
			}
		}
	}
	return r
}

// Print writes a table for people. A baseline that is better than the product's policy on a line is marked with *.
func (r Results) Print(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(out, "SCENARIO\tPOLICY\tCLASS\tIN TARGET\tSUCCEEDED\tKEPT\tRECOVERY\tBUSY\tWASTED\tSUM")
	for _, name := range r.Scenarios {
		for _, p := range Policies() {
			r.printTable(out, name, p)
		}
	}
	return out.Flush()
}

func (r Results) printTable(out io.Writer, scenario string, p PolicyName) {
	table := r.Tables[scenario][p]
	own := r.Tables[scenario]["targets"]
	for i, line := range table.Lines {
		mark := ""
		if line.Kept > own.Lines[i].Kept+betterBy {
			mark = "*"
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%.1f%%\t%.1f%%\t%.1f%%%s\t%v\t", scenario, p, line.Class,
			100*line.InTarget, 100*line.Succeeded, 100*line.Kept, mark, line.Recovery)
		if i == 0 {
			fmt.Fprintf(out, "%.1f%%\t%.1f%%\t%.2f", 100*table.Busy, 100*table.Wasted, table.Sum)
		}
		fmt.Fprintln(out)
	}
}

// betterBy is the difference from which a baseline counts as better on a line.
const betterBy = 0.01

// Sizes of the plot, in pixels.
const (
	plotWidth  = 960
	plotRow    = 18
	plotLeft   = 360
	plotTop    = 40
	plotLegend = 20
)

// Plot writes a picture of what the classes kept in each scenario under each policy, as SVG.
func (r Results) Plot(w io.Writer) error {
	rows := 0
	for _, name := range r.Scenarios {
		rows += len(r.Tables[name]["targets"].Lines) + 1
	}
	colors := map[PolicyName]string{"targets": "#1b6", "fifo": "#c33", "strict-priority": "#36c", "static-shares": "#a6a"}
	_, err := fmt.Fprintf(w, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		plotWidth, plotTop+rows*plotRow)
	if err != nil {
		return err
	}
	for i, p := range Policies() {
		x := plotLeft + i*140
		fmt.Fprintf(w, `<circle cx="%d" cy="%d" r="5" fill="%s"/><text x="%d" y="%d">%s</text>`+"\n", x, plotLegend, colors[p], x+10, plotLegend+4, p)
	}
	y := plotTop
	for _, name := range r.Scenarios {
		fmt.Fprintf(w, `<text x="4" y="%d" font-weight="bold">%s</text>`+"\n", y+12, name)
		y += plotRow
		for i, line := range r.Tables[name]["targets"].Lines {
			fmt.Fprintf(w, `<text x="20" y="%d">%s</text><line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#ddd"/>`+"\n",
				y+12, line.Class, plotLeft, y+8, plotWidth-20, y+8)
			for _, p := range Policies() {
				kept := r.Tables[name][p].Lines[i].Kept
				x := plotLeft + int(kept*float64(plotWidth-20-plotLeft))
				fmt.Fprintf(w, `<circle cx="%d" cy="%d" r="5" fill="%s" fill-opacity="0.7"/>`+"\n", x, y+8, colors[p])
			}
			y += plotRow
		}
	}
	_, err = fmt.Fprintln(w, "</svg>")
	return err
}
