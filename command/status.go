package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"masticbay/entry"
)

const (
	columnMin = 2
	columnGap = 2
)

// printColumns prints the tab-separated cells that f writes in aligned columns.
func printColumns(w io.Writer, f func(w io.Writer)) {
	tw := tabwriter.NewWriter(w, columnMin, 0, columnGap, ' ', 0)
	f(tw)
	_ = tw.Flush()
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "prints the entries, agents, queues and table revision that an entry knows",
		Flags: []cli.Flag{entryFlag(), outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			st, err := callEntry[entry.StatusReply](ctx, cmd, http.MethodGet, "/v1/status", nil)
			if err != nil {
				return err
			}
			return printOutput(cmd, st, func(w io.Writer) { printStatus(w, &st) })
		},
	}
}

func printStatus(w io.Writer, st *entry.StatusReply) {
	_, _ = fmt.Fprintf(w, "entry %s in %s: %d open jobs, table revision %d, registry revision %d, settled %t, ready %t, stopping %t, %d entries lost\n\n",
		st.Entry, st.DataCentre, st.OpenJobs, st.TableRevision, st.Registry, st.Settled, st.Ready, st.Stopping, len(st.Lost))
	printColumns(w, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "ENTRY\tDATA CENTRE\tHTTP\tRPC")
		for _, e := range st.Entries {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", e.ID, e.DataCentre, e.HTTP, e.Address)
		}
		_, _ = fmt.Fprintln(w, "\t\t\t")
	})
	printColumns(w, func(w io.Writer) { printAgents(w, st.Agents) })
	printColumns(w, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "\nQUEUE\tWAITING\tJOBS\tRUNNING\tMEAN MS")
		for _, q := range st.Queues {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.1f\n", q.Service, q.Waiting, q.Jobs, q.Running, q.MeanMillis)
		}
	})
}

func printAgents(w io.Writer, agents []entry.AgentStatus) {
	_, _ = fmt.Fprintln(w, "TARGET\tSERVICE\tDATA CENTRE\tSTATE\tRUNNING\tSLOTS\tCREDITS\tMEAN MS\tAGENT\tWHY")
	for _, a := range agents {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.1f\t%s\t%s\n",
			a.Target, a.Service, a.DataCentre, a.State, a.Running, a.Slots, a.Credits, a.MeanMillis, a.ID, a.Reason)
	}
}

func targetListCommand() *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "lists the targets that an entry knows",
		Flags: []cli.Flag{entryFlag(), outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			st, err := callEntry[entry.StatusReply](ctx, cmd, http.MethodGet, "/v1/status", nil)
			if err != nil {
				return err
			}
			return printOutput(cmd, st.Agents, func(w io.Writer) {
				printColumns(w, func(w io.Writer) { printAgents(w, st.Agents) })
			})
		},
	}
}
