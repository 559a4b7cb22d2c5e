package settings

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3"
)

// EnvPrefix is the prefix of the environment variables: BURDOCKD_HOST_NAME sets the
// flag -host-name.
const EnvPrefix = "BURDOCKD"

// overrides holds the values of the flags and of the environment variables that
// correspond to them.
type overrides struct {
	file      string
	checkOnly bool
	flags     []override
}

// override is a flag that overrides one setting of the file. An empty value
// overrides nothing.
type override struct {
	name, path string
	value      string
	target     func(*Settings) *string
}

func newOverrides() *overrides {
	return &overrides{flags: []override{
		{name: "host-name", path: "host.name", target: func(s *Settings) *string { return (*string)(&s.Host.Name) }},
		{name: "host-region", path: "host.region", target: func(s *Settings) *string { return (*string)(&s.Host.Region) }},
		{name: "host-failure-domain", path: "host.failure_domain", target: func(s *Settings) *string { return (*string)(&s.Host.FailureDomain) }},
		{name: "listen-caller", path: "listen.caller", target: func(s *Settings) *string { return &s.Listen.Caller }},
		{name: "listen-mesh", path: "listen.mesh", target: func(s *Settings) *string { return &s.Listen.Mesh }},
		{name: "listen-local", path: "listen.local", target: func(s *Settings) *string { return &s.Listen.Local }},
		{name: "listen-admin", path: "listen.admin", target: func(s *Settings) *string { return &s.Listen.Admin }},
		{name: "log-service-url", path: "log_service.url", target: func(s *Settings) *string { return &s.LogService.URL }},
		{name: "log-level", path: "telemetry.log_level", target: func(s *Settings) *string { return &s.Telemetry.LogLevel }},
	}}
}

func (o *overrides) flagSet() *flag.FlagSet {
	fs := flag.NewFlagSet("burdockd", flag.ContinueOnError)
	fs.StringVar(&o.file, "settings", "", "path of the YAML settings file")
	fs.BoolVar(&o.checkOnly, "check-settings", false, "check the settings, print every problem and exit")
	for i := range o.flags {
		f := &o.flags[i]
		fs.StringVar(&f.value, f.name, "", "overrides "+f.path+" of the file")
	}
	return fs
}

// Load reads the settings from, in increasing order of precedence, the defaults, the
// file named by -settings, environment variables and flags. It returns flag.ErrHelp
// if -h is given, Problems if the settings are invalid, or the error of reading the
// file. It prints the usage text to the standard error stream.
func Load(args []string) (Settings, error) {
	o := newOverrides()
	fs := o.flagSet()
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if fs.NArg() > 0 {
		return Settings{}, fmt.Errorf("settings: unexpected argument %q", fs.Arg(0))
	}
	s := Default()
	s.CheckOnly = o.checkOnly
	var problems Problems
	if err := readFile(o.file, &s); !errors.As(err, &problems) && err != nil {
		return s, err
	}
	for _, f := range o.flags {
		if f.value != "" {
			*f.target(&s) = f.value
		}
	}
	var invalid Problems
	if errors.As(s.Validate(), &invalid) {
		problems = mergeProblems(problems, invalid)
	}
	return s, problems.errOrNil()
}

func readFile(path string, s *Settings) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return Decode(data, s)
}

// mergeProblems appends those problems of invalid whose path is not among problems
// yet, so that a value that could not be decoded is reported only once.
func mergeProblems(problems, invalid Problems) Problems {
	known := map[string]bool{}
	for _, p := range problems {
		known[p.Path] = true
	}
	for _, f := range invalid {
		if !known[f.Path] {
			problems = append(problems, f)
		}
	}
	return problems
}
