package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
)

// Keep starts the cooperative's fleet and keeps it running until the context ends.
func Keep(ctx context.Context, options Options, out io.Writer) error {
	options, remove, err := options.withDirectory()
	if err != nil {
		return err
	}
	defer remove()
	f, err := start(ctx, Cooperative(), options, newProgressLogger(out, time.Now()))
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.scenario(cooperativeScenario); err != nil {
		return err
	}
	f.writeHints(out)
	<-ctx.Done()
	fmt.Fprintln(out, "stopping the fleet")
	return nil
}

// writeHints prints example commands for the running fleet.
func (f *Fleet) writeHints(out io.Writer) {
	h := f.Hosts[0]
	host := "http://" + h.Callers.String()
	customer := f.Customers[0].ID
	key := `-H "Authorization: Bearer $(cat ` + f.KeyFile(customer, 0) + `)"`
	order := fmt.Sprintf(`curl -i -X POST %s -H "Idempotency-Key: %s" -d '{"sieve":"63um"}' %s/%s/1`,
		key, uuid.Must(uuid.NewV7()), host, routeOrdre)
	fmt.Fprintf(out, "\n# which entry hosts to use\ncurl -i '%s/v1/entry-hosts?route=%s&client=192.0.2.70'\n", host, routeKatalog)
	fmt.Fprintf(out, "# open read\ncurl -i %s/%s/sieve/63\n", host, routeKatalog)
	fmt.Fprintf(out, "# keyed read\ncurl -i %s %s/%s/63\n", key, host, routeSertifikat)
	fmt.Fprintf(out, "# order\n%s\n# repeat of the order: the same answer, and no second run\n%s\n", order, order)
	fmt.Fprintf(out, "# status of an entry host\ncurl -s -H \"Authorization: Bearer $(cat %s)\" %s\n", f.path(operatorsFile), h.operatorsURL("/v1/status"))
	fmt.Fprintf(out, "# runs at the upstreams of %s\ncurl -s http://%s/admin/runs\n", f.Regions[0], f.Upstreams[0].Admin)
	fmt.Fprintf(out, "# load of the demo without faults\n%s load %s\n\nCtrl-C stops the fleet.\n", f.Standin, f.path(scenarioFile))
}
