package commander

import (
	"context"
	"os"
)

// checkCommand validates a file without connecting to a node.
type checkCommand struct {
	File     string `arg:"positional,required" placeholder:"FILE" help:"a template, or with --settings a daemon's settings"`
	Settings bool   `arg:"--settings" help:"the file is a daemon's settings"`
}

func (*checkCommand) examples() string {
	return "  banyanquay check acme.toml\n  banyanquay check --settings banyanquayd.toml\n"
}

// checkOutput is the JSON output of check.
type checkOutput struct {
	File   string   `json:"file"`
	Faults []string `json:"faults"`
}

func (c *checkCommand) run(_ context.Context, s session) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return &usageError{err.Error()}
	}
	var faults []string
	switch {
	case c.Settings && s.cfg.CheckSettings == nil:
		return &usageError{`this build can't check settings; use "banyanquayd --check"`}
	case c.Settings:
		faults = s.cfg.CheckSettings(data)
	default:
		_, faults = templateParser(c.File)(data)
	}
	if s.json {
		if err := s.printJSON(checkOutput{File: c.File, Faults: append([]string{}, faults...)}); err != nil {
			return err
		}
	}
	if len(faults) > 0 {
		return faultsError(c.File, faults)
	}
	if !s.json {
		printf(s.cfg.Stdout, "%s has no faults\n", c.File)
	}
	return nil
}
