package main

import (
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/peer"
)

type certsCommand struct {
	CA   certsCACommand   `cmd:"" name:"ca" help:"Make the fleet's certificate authority."`
	Host certsHostCommand `cmd:"" help:"Make the certificate of a host."`
}

type certsCACommand struct {
	Directory string        `arg:"" help:"Directory for the certificate and the key of the authority."`
	Name      string        `default:"catkinspring fleet" help:"Name in the certificate."`
	Validity  time.Duration `default:"43800h" help:"Time for which the certificate is valid."`
}

// Run creates the certificate authority.
func (c certsCACommand) Run() error {
	if err := os.MkdirAll(c.Directory, 0o700); err != nil {
		return eris.Wrap(err, "authority directory")
	}
	authority, err := peer.NewAuthority(c.Name, time.Now(), c.Validity)
	if err != nil {
		return err
	}
	return authority.Write(c.Directory)
}

type certsHostCommand struct {
	ID        string        `arg:"" help:"Host id, as in the host's settings file."`
	Authority string        `required:"" help:"Directory of the authority."`
	Directory string        `required:"" help:"Directory for the certificate and its key."`
	Validity  time.Duration `default:"2160h" help:"Time for which the certificate is valid."`
}

// Run issues the certificate and prints the paths of its files.
func (c certsHostCommand) Run() error {
	authority, err := peer.LoadAuthority(c.Authority)
	if err != nil {
		return err
	}
	files, err := authority.IssueHost(fleet.HostID(c.ID), c.Directory, time.Now(), c.Validity)
	if err != nil {
		return err
	}
	fmt.Println(files.Certificate)
	fmt.Println(files.Key)
	return nil
}
