package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"wisteriaweir/monitor"
	"wisteriaweir/peer"
)

// defaultDumpTimeout is the default of --timeout.
const defaultDumpTimeout = 10 * time.Second

// dumpUsageError reports that the arguments of dump are not exactly one IP:port
// address.
type dumpUsageError struct {
	args []string
}

func (e *dumpUsageError) Error() string {
	return fmt.Sprintf("dump: given %q, allowed: one ADDRESS as IP:port", e.args)
}

// ExitCode returns exitUsage.
func (e *dumpUsageError) ExitCode() int { return exitUsage }

// dumpCommand returns the command that prints the state of a process.
func dumpCommand() *cli.Command {
	return &cli.Command{
		Name:      "dump",
		Usage:     "print the whole state of a process as JSON",
		ArgsUsage: "ADDRESS",
		Description: "ADDRESS is the monitor address, IP:port, of the process. If the TLS flags are\n" +
			"set, it is the control address of a balancer.\n" +
			"Exit codes: 0 success, 2 invalid command line, 6 no valid response.\n\n" +
			"Example: wisteriaweir dump 127.0.0.1:7003",
		Flags: []cli.Flag{
			textFlag("tls-cert", "", "certificate of the operator"),
			textFlag("tls-key", "", "private key of the operator"),
			textFlag("tls-ca", "", "CA certificates that verify balancers"),
			&cli.DurationFlag{Name: "timeout", Usage: "timeout of the request", Value: defaultDumpTimeout},
			&cli.BoolFlag{Name: "json", Usage: "print one line instead of indented JSON"},
		},
		Action: runDump,
	}
}

func runDump(ctx context.Context, cmd *cli.Command) error {
	address := cmd.Args().First()
	addr, err := netip.ParseAddrPort(address)
	if err != nil || cmd.Args().Len() != 1 {
		return &dumpUsageError{args: cmd.Args().Slice()}
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	body, err := fetchDump(ctx, cmd, addr)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	if cmd.Bool("json") {
		err = json.Compact(&b, body)
	} else {
		err = json.Indent(&b, body, "", "  ")
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(os.Stdout, string(bytes.TrimSpace(b.Bytes())))
	return err
}

// fetchDump requests the state over mutual TLS if the operator's TLS files are
// set, and over plain HTTP otherwise.
func fetchDump(ctx context.Context, cmd *cli.Command, addr netip.AddrPort) ([]byte, error) {
	files := peer.TLS{CertFile: cmd.String("tls-cert"), KeyFile: cmd.String("tls-key"), CAFile: cmd.String("tls-ca")}
	if files == (peer.TLS{}) {
		body, err := monitor.FetchDump(ctx, addr.String())
		if err != nil {
			return nil, &exitCodeError{err: err, code: exitUnavailable}
		}
		return body, nil
	}
	if files.CertFile == "" || files.KeyFile == "" || files.CAFile == "" {
		return nil, newCommandError("dump: --tls-cert, --tls-key and --tls-ca must be given together")
	}
	body, err := peer.Dump(ctx, addr, files)
	switch {
	case errors.As(err, new(*peer.KeyError)):
		return nil, &exitCodeError{err: err, code: exitUsage}
	case err != nil:
		return nil, &exitCodeError{err: err, code: exitUnavailable}
	}
	return body, nil
}
