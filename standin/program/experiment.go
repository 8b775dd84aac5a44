package program

// experimentCommand measures the admission policies.
type experimentCommand struct {
	streams streams
}

// Execute implements flags.Commander.
func (c *experimentCommand) Execute([]string) error { return nil }
