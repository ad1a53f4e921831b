package main

import (
	"cmp"
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"wisteriaweir/platform"
	"wisteriaweir/ticket"
)

// statusCommand returns the command that shows the newest accepted ticket and the
// active one of each failure domain.
func statusCommand() *cli.Command {
	return &cli.Command{
		Name:         "status",
		Usage:        "show the newest ticket and the ticket in force in each failure domain",
		Flags:        append(platformFlags(), jsonFlag()),
		OnUsageError: handleUsageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return newCommandError("status: takes no arguments")
			}
			c, err := newClient(cmd)
			if err != nil {
				return err
			}
			r, err := loadStatus(ctx, c)
			if err != nil {
				return withExitCode(err)
			}
			return r.print(newPrinter(cmd))
		},
	}
}

// statusResult is the JSON output of the status command.
type statusResult struct {
	Number   uint64          `json:"number"`
	Digest   string          `json:"digest"`
	Services []serviceTicket `json:"services"`
	Domains  []ticket.Status `json:"domains"`
}

// serviceTicket is a service with the number of its newest ticket.
type serviceTicket struct {
	Name   string `json:"name"`
	Ticket uint64 `json:"ticket"`
}

func loadStatus(ctx context.Context, c *platform.Client) (statusResult, error) {
	h, _, err := ticket.LoadHead(ctx, c)
	if err != nil {
		return statusResult{}, err
	}
	r := statusResult{Number: h.Number, Digest: h.Digest, Services: []serviceTicket{}, Domains: []ticket.Status{}}
	for _, name := range h.ServiceNames() {
		r.Services = append(r.Services, serviceTicket{Name: name, Ticket: h.Services[name].Number})
	}
	for _, domain := range h.Domains {
		s, err := ticket.LoadStatus(ctx, c, domain)
		if err != nil {
			return statusResult{}, err
		}
		r.Domains = append(r.Domains, s)
	}
	return r, nil
}

// print writes the result as two tables, or as JSON.
func (r statusResult) print(p printer) error {
	if p.json {
		return p.printJSON(r)
	}
	fmt.Fprintf(p.w, "number %d digest %.12s\n", r.Number, r.Digest)
	w := tabwriter.NewWriter(p.w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tTICKET")
	for _, s := range r.Services {
		fmt.Fprintf(w, "%s\t%d\n", s.Name, s.Ticket)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	w = tabwriter.NewWriter(p.w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "DOMAIN\tNUMBER\tMEMBERS\tBEHIND\tHOLDER")
	for _, s := range r.Domains {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\n", s.Domain, s.Number, s.Members, s.Behind, cmp.Or(s.Holder, "-"))
	}
	return w.Flush()
}
