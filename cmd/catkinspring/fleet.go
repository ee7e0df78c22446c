package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/catkinspring/catkinspring/operator/client"
	"github.com/catkinspring/catkinspring/settings"
)

// credentialVariable is the environment variable with the operators' credential, used
// if no file is given. A flag would expose the credential in the process list.
const credentialVariable = "CATKINSPRING_CREDENTIAL"

// console holds the output streams of a command and a context that is canceled by a
// signal.
type console struct {
	ctx context.Context
	out io.Writer
	err io.Writer
}

// fleetFlags select the hosts to which a command connects.
type fleetFlags struct {
	Host           []string      `placeholder:"ADDRESS" env:"CATKINSPRING_HOST" help:"Operators' address of an entry host, IP:PORT. May be repeated: the next one is tried when one can't be reached."`
	CredentialFile string        `type:"path" placeholder:"FILE" env:"CATKINSPRING_CREDENTIAL_FILE" help:"File with the operators' credential. Without it the environment variable CATKINSPRING_CREDENTIAL is used."`
	Timeout        time.Duration `default:"5s" help:"Bound of one request to one host."`
}

// HostRequiredError reports that the command line names no host.
type HostRequiredError struct{}

func (*HostRequiredError) Error() string {
	return "name an entry host with --host ADDRESS or CATKINSPRING_HOST"
}

func (f *fleetFlags) client() (*client.Client, error) {
	if len(f.Host) == 0 {
		return nil, &HostRequiredError{}
	}
	ref := settings.SecretRef{File: f.CredentialFile}
	if f.CredentialFile == "" {
		ref.Environment = credentialVariable
	}
	credential, err := ref.Read()
	if err != nil {
		return nil, err
	}
	return client.New(client.Config{Hosts: f.Host, Credential: credential.Reveal(), Timeout: f.Timeout}), nil
}

// jsonFlag selects JSON output.
type jsonFlag struct {
	JSON bool `name:"json" help:"Print JSON for programs."`
}

func (c *console) printf(format string, args ...any) { fmt.Fprintf(c.out, format, args...) }

func (c *console) warnf(format string, args ...any) { fmt.Fprintf(c.err, format, args...) }

func (c *console) json(v any) error {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// table writes rows with aligned columns.
func (c *console) table(rows [][]string) {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush()
}
