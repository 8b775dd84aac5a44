package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Results holds the results of all scenarios under all policies.
type Results struct {
	// Scenarios lists the names of the scenarios in the order in which they ran.
	Scenarios  []string
	ByScenario map[string]map[PolicyName]Result
}

// MeasureAll simulates all scenarios of all mixes under all policies.
func MeasureAll(seed uint64) Results {
	r := Results{ByScenario: map[string]map[PolicyName]Result{}}
	for _, m := range Mixes() {
		for _, s := range Scenarios(m, seed) {
			r.Scenarios = append(r.Scenarios, s.Name)
			r.ByScenario[s.Name] = map[PolicyName]Result{}
			for _, p := range Policies() {
				r.ByScenario[s.Name][p] = Measure(s, p)
			}
		}
	}
	return r
}

// Print writes the results as a text table. A baseline that did better than the production policy for a class is marked
// with *.
func (r Results) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "SCENARIO\tPOLICY\tCLASS\tIN TARGET\tSUCCEEDED\tKEPT\tRECOVERY\tBUSY\tWASTED\tSUM")
	for _, name := range r.Scenarios {
		for _, p := range Policies() {
			r.printResult(table, name, p)
		}
	}
	return table.Flush()
}

func (r Results) printResult(table io.Writer, scenario string, p PolicyName) {
	result := r.ByScenario[scenario][p]
	production := r.ByScenario[scenario]["targets"]
	for i, c := range result.Classes {
		mark := ""
		if c.Kept > production.Classes[i].Kept+minImprovement {
			mark = "*"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%.1f%%\t%.1f%%\t%.1f%%%s\t%v\t", scenario, p, c.Class,
			100*c.InTarget, 100*c.Succeeded, 100*c.Kept, mark, c.Recovery)
		if i == 0 {
			fmt.Fprintf(table, "%.1f%%\t%.1f%%\t%.2f", 100*result.Utilization, 100*result.WastedShare, result.KeptSum)
		}
		fmt.Fprintln(table)
	}
}

// minImprovement is the difference in Kept above which a baseline counts as better for a class.
const minImprovement = 0.01

// Sizes of the plot, in pixels.
const (
	plotWidth     = 960
	plotRowHeight = 18
	plotLeft      = 360
	plotTop       = 40
	plotLegend    = 20
)

// Plot writes an SVG chart of the Kept share of each class in each scenario under each policy.
func (r Results) Plot(w io.Writer) error {
	rows := 0
	for _, name := range r.Scenarios {
		rows += len(r.ByScenario[name]["targets"].Classes) + 1
	}
	colors := map[PolicyName]string{
		"targets": "#1b6", "fifo": "#c33", "strict-priority": "#36c", "static-shares": "#a6a",
	}
	_, err := fmt.Fprintf(w,
		`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		plotWidth, plotTop+rows*plotRowHeight)
	if err != nil {
		return err
	}
	for i, p := range Policies() {
		x := plotLeft + i*140
		fmt.Fprintf(w, `<circle cx="%d" cy="%d" r="5" fill="%s"/><text x="%d" y="%d">%s</text>`+"\n",
			x, plotLegend, colors[p], x+10, plotLegend+4, p)
	}
	y := plotTop
	for _, name := range r.Scenarios {
		fmt.Fprintf(w, `<text x="4" y="%d" font-weight="bold">%s</text>`+"\n", y+12, name)
		y += plotRowHeight
		for i, c := range r.ByScenario[name]["targets"].Classes {
			fmt.Fprintf(w, `<text x="20" y="%d">%s</text><line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#ddd"/>`+"\n",
				y+12, c.Class, plotLeft, y+8, plotWidth-20, y+8)
			for _, p := range Policies() {
				kept := r.ByScenario[name][p].Classes[i].Kept
				x := plotLeft + int(kept*float64(plotWidth-20-plotLeft))
				fmt.Fprintf(w, `<circle cx="%d" cy="%d" r="5" fill="%s" fill-opacity="0.7"/>`+"\n", x, y+8, colors[p])
			}
			y += plotRowHeight
		}
	}
	_, err = fmt.Fprintln(w, "</svg>")
	return err
}
