package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/pelletier/go-toml/v2"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/standin"
)

// serve is the subcommand that runs the stand-ins until SIGINT or SIGTERM.
type serve struct {
	config     string
	records    string
	entryHosts string
}

func (*serve) Name() string     { return "serve" }
func (*serve) Synopsis() string { return "run the stand-ins until SIGTERM" }
func (*serve) Usage() string {
	return "serve [flags]\n\tPrints the addresses as one line of JSON to standard output.\n"
}

// SetFlags implements subcommands.Command.
func (s *serve) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.config, "config", "", "TOML file with the site's configuration; a small site by default")
	f.StringVar(&s.records, "records", "", "file to write the records to, one JSON object per line")
	f.StringVar(&s.entryHosts, "entry-hosts", "", `JSON list such as [{"name":"a","peer":"127.0.0.1:7001","zone":"z"}]`)
}

// Execute implements subcommands.Command.
func (s *serve) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	if err := s.run(ctx, os.Stdout, log); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// run serves until ctx is done.
func (s *serve) run(ctx context.Context, out io.Writer, log *slog.Logger) (err error) {
	config, err := s.load()
	if err != nil {
		return err
	}
	if s.records != "" {
		file, err := os.Create(s.records)
		if err != nil {
			return errors.Wrap(err, "records")
		}
		defer file.Close()
		config.Recorder = check.NewRecorder(file)
	}
	p, err := standin.Start(config)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, p.Close()) }()
	if err := json.NewEncoder(out).Encode(p.Addresses()); err != nil {
		return errors.Wrap(err, "print addresses")
	}
	event.StandinStarted.Log(log, slog.Int("endpoints", len(p.Endpoints)), slog.Int("workers", len(p.Workers)))
	<-ctx.Done()
	event.StandinStopped.Log(log)
	return nil
}

// load returns the configuration: the defaults, overridden by the -config file
// and -entry-hosts.
func (s *serve) load() (standin.Config, error) {
	config := standin.DefaultConfig()
	if s.config != "" {
		data, err := os.ReadFile(s.config)
		if err != nil {
			return config, errors.Wrap(err, "config")
		}
		if err := toml.Unmarshal(data, &config); err != nil {
			return config, errors.Wrapf(err, "config %s", s.config)
		}
	}
	if s.entryHosts != "" {
		if err := json.Unmarshal([]byte(s.entryHosts), &config.EntryHosts); err != nil {
			return config, errors.Wrap(err, "entry-hosts")
		}
	}
	return config, nil
}
