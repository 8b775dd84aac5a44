package cmd

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/operator"
	"github.com/skylarkrelay/skylarkrelay/settings"
)

// revisionComment marks the line by which config get tells config apply what the operator read.
const revisionComment = "# revision "

// waitPoll is the pause between two looks at the members while config apply waits.
const waitPoll = 100 * time.Millisecond

func addConfig(parent *flags.Command, s streams) error {
	config, err := parent.AddCommand("config", "read and change the configuration", "Reads and changes the classes of work.", &struct{}{})
	if err != nil {
		return err
	}
	if _, err := config.AddCommand("get", "print the configuration in force",
		"Prints the accepted configuration. Its first line holds the revision; leave it in the file that you apply.",
		&configGet{streams: s}); err != nil {
		return err
	}
	if _, err := config.AddCommand("apply", "change the configuration",
		"Checks a file whole and makes it the configuration, if nobody has changed it since it was read.",
		&configApply{streams: s}); err != nil {
		return err
	}
	_, err = config.AddCommand("history", "list the accepted changes", "Lists the accepted changes, the newest first.",
		&configHistory{streams: s})
	return err
}

// configGet prints the configuration.
type configGet struct {
	connection
	format
	streams streams
}

// Execute implements flags.Commander.
func (c *configGet) Execute([]string) error {
	changes, err := c.client().History(context.Background())
	if err != nil {
		return err
	}
	var current operator.Change
	if len(changes) > 0 {
		current = changes[0]
	}
	if c.JSON {
		return printJSON(c.streams.out, current)
	}
	fmt.Fprintf(c.streams.out, "%s%d\n%s", revisionComment, current.Revision, current.Text)
	return nil
}

// configApply changes the configuration.
type configApply struct {
	connection
	format
	Wait    bool           `long:"wait" description:"return when all members report the revision in force"`
	Timeout time.Duration  `long:"timeout" default:"30s" description:"bound on the whole command"`
	Based   class.Revision `long:"revision" default:"0" description:"revision that the change is based on, if the file does not tell"`
	Author  string         `long:"author" description:"name for the history; default is the user's"`
	Args    struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`

	streams streams
}

// Execute implements flags.Commander.
func (c *configApply) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return &settings.FileError{Path: c.Args.File, Cause: err}
	}
	based, text := splitRevision(string(data), c.Based)
	change, err := c.client().Apply(ctx, based, c.author(), text)
	if err != nil {
		return err
	}
	state := "accepted"
	if c.Wait {
		if err := c.wait(ctx, change.Revision); err != nil {
			return err
		}
		state = "in force"
	}
	if c.JSON {
		return printJSON(c.streams.out, map[string]any{"revision": change.Revision, "state": state})
	}
	fmt.Fprintf(c.streams.out, "revision %d %s\n", change.Revision, state)
	return nil
}

func (c *configApply) author() string {
	if c.Author != "" {
		return c.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// splitRevision takes the revision line off a text.
func splitRevision(text string, fallback class.Revision) (class.Revision, string) {
	first, rest, _ := strings.Cut(text, "\n")
	var revision class.Revision
	if n, err := fmt.Sscanf(first, revisionComment+"%d", &revision); err == nil && n == 1 {
		return revision, rest
	}
	return fallback, text
}

// NotInForceError reports members that do not have an accepted revision in force yet. The change stays accepted.
type NotInForceError struct {
	Revision class.Revision
	Members  []string
}

func (e *NotInForceError) Error() string {
	return fmt.Sprintf("revision %d is accepted, but not yet in force at %s", e.Revision, strings.Join(e.Members, ", "))
}

// wait polls the members until all have the revision in force.
func (c *configApply) wait(ctx context.Context, revision class.Revision) error {
	var behind []string
	for {
		now, err := c.behind(ctx, revision)
		if ctx.Err() != nil {
			return &NotInForceError{Revision: revision, Members: behind} // this look was cut short
		}
		if err != nil {
			return err
		}
		behind = now
		if len(behind) == 0 {
			return nil
		}
		select {
		case <-time.After(waitPoll):
		case <-ctx.Done():
			return &NotInForceError{Revision: revision, Members: behind}
		}
	}
}

// behind returns the members that do not report a revision.
func (c *configApply) behind(ctx context.Context, revision class.Revision) ([]string, error) {
	status, err := c.client().Status(ctx)
	if err != nil {
		return nil, err
	}
	var behind []string
	for _, m := range status.Members {
		of, err := operator.NewClient(m.Operator).Status(ctx)
		if err != nil || of.Config < revision {
			behind = append(behind, m.Member)
		}
	}
	return behind, nil
}

// configHistory lists the accepted changes.
type configHistory struct {
	connection
	format
	Diff    bool `long:"diff" description:"print what each change added and took away"`
	streams streams
}

// Execute implements flags.Commander.
func (c *configHistory) Execute([]string) error {
	changes, err := c.client().History(context.Background())
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(c.streams.out, changes)
	}
	for i, change := range changes {
		fmt.Fprintf(c.streams.out, "%d\t%s\t%s\n", change.Revision, change.At.Format(time.RFC3339), change.Author)
		if !c.Diff {
			continue
		}
		before := ""
		if i+1 < len(changes) {
			before = changes[i+1].Text
		}
		fmt.Fprint(c.streams.out, operator.Diff(before, change.Text))
	}
	return nil
}
