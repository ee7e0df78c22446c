package main

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/keys"
	"github.com/catkinspring/catkinspring/operator"
)

type keyCommand struct {
	New      keyNewCommand      `cmd:"" help:"Make a customer's key, show it once, and print or apply the release note that grants it."`
	Withdraw keyWithdrawCommand `cmd:"" help:"Withdraw a key through a release note and wait until every live host refuses it."`
}

// keyNote is a release note that grants or withdraws one key.
type keyNote struct {
	ID        string        `json:"id"`
	Added     *grantedKeys  `json:"added,omitempty"`
	Withdrawn *withdrawnKey `json:"withdrawn,omitempty"`
}

type grantedKeys struct {
	Keys []configuration.CustomerKey `json:"keys"`
}

type withdrawnKey struct {
	Keys []string `json:"keys"`
}

// text returns the note as JSON, validated as a host would do.
func (n keyNote) text() ([]byte, error) {
	text, err := json.MarshalIndent(n, "", "  ")
	if err != nil {
		return nil, eris.Wrap(err, "release note")
	}
	_, err = configuration.ParseNote(text)
	return text, err
}

type keyNewCommand struct {
	Customer string `arg:"" help:"Customer that gets the key. It must exist."`
	Apply    bool   `help:"Apply the release note. Without it the note is printed, for note apply."`
	NoteID   string `placeholder:"ID" help:"Id of the release note. Default: key-grant- and the key's id."`
	fleetFlags
	waitFlags
	jsonFlag
}

// newKeyOutput is the JSON output of key new.
type newKeyOutput struct {
	// Key is the complete key. It is shown only once and not stored.
	Key   string            `json:"key"`
	KeyID string            `json:"keyId"`
	Note  json.RawMessage   `json:"note"`
	Apply *operator.Applied `json:"applied,omitempty"`
}

// Run generates a key. The key is printed before the note is applied, so that it is
// not lost if the response of the host is lost.
func (c keyNewCommand) Run(con *console) error {
	key := keys.Generate()
	note := keyNote{ID: c.NoteID, Added: &grantedKeys{Keys: []configuration.CustomerKey{
		{Customer: fleet.Customer(c.Customer), ID: key.ID(), Digest: key.Digest().Hex()},
	}}}
	if note.ID == "" {
		note.ID = "key-grant-" + key.ID()
	}
	text, err := note.text()
	if err != nil {
		return con.reportFailure(err, c.JSON)
	}
	output := newKeyOutput{Key: key.Reveal(), KeyID: key.ID(), Note: text}
	if !c.JSON {
		con.printf("key, shown once: %s\n", key.Reveal())
	}
	if !c.Apply {
		if c.JSON {
			return con.json(output)
		}
		con.printf("release note that grants it:\n%s\n", text)
		return nil
	}
	fleetClient, err := c.client()
	if err != nil {
		return err
	}
	applied, err := con.apply(fleetClient, text, c.waitFlags, c.JSON)
	if applied.Revision > 0 {
		output.Apply = &applied
	}
	if !c.JSON {
		return err
	}
	if writeErr := con.json(output); writeErr != nil {
		return writeErr
	}
	return err
}

type keyWithdrawCommand struct {
	KeyID  string `arg:"" name:"key-id" help:"Id of the key: the 16 digits after ck_."`
	NoteID string `placeholder:"ID" help:"Id of the release note. Default: key-withdraw- and the key's id."`
	fleetFlags
	waitFlags
	jsonFlag
}

// Run withdraws a key.
func (c keyWithdrawCommand) Run(con *console) error {
	note := keyNote{ID: c.NoteID, Withdrawn: &withdrawnKey{Keys: []string{c.KeyID}}}
	if note.ID == "" {
		note.ID = "key-withdraw-" + c.KeyID
	}
	text, err := note.text()
	if err != nil {
		return con.reportFailure(err, c.JSON)
	}
	fleetClient, err := c.client()
	if err != nil {
		return err
	}
	return con.applyAndReport(fleetClient, text, c.waitFlags, c.JSON)
}
