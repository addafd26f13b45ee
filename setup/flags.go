package setup

import (
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// environmentPrefix is the prefix of the environment variables of all settings.
const environmentPrefix = "BASILKEEL_"

// Environment returns the name of a flag's environment variable.
func Environment(flag string) string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func stringFlag(into *string, name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Destination: into, Sources: cli.EnvVars(Environment(name))}
}

func durationFlag(into *time.Duration, name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Destination: into, Sources: cli.EnvVars(Environment(name))}
}

func intFlag(into *int64, name string, value int64, usage string) cli.Flag {
	return &cli.Int64Flag{Name: name, Value: value, Usage: usage, Destination: into, Sources: cli.EnvVars(Environment(name))}
}

func floatFlag(into *float64, name string, value float64, usage string) cli.Flag {
	return &cli.FloatFlag{Name: name, Value: value, Usage: usage, Destination: into, Sources: cli.EnvVars(Environment(name))}
}

func stringsFlag(into *[]string, name, usage string) cli.Flag {
	return &cli.StringSliceFlag{Name: name, Usage: usage, Destination: into, Sources: cli.EnvVars(Environment(name))}
}

func boolFlag(into *bool, name, usage string) cli.Flag {
	return &cli.BoolFlag{Name: name, Usage: usage, Destination: into, Sources: cli.EnvVars(Environment(name))}
}
