package main

type logCommand struct {
	Level logLevelCommand `cmd:"" help:"Show or change the lowest level that each named host logs, until it restarts."`
}

type logLevelCommand struct {
	Set string `arg:"" optional:"" enum:"debug,info,warn,error," default:"" help:"New level: debug, info, warn or error. Without it the levels are shown."`
	fleetFlags
	jsonFlag
}

// levelOutput is the level of one host.
type levelOutput struct {
	Host  string `json:"host"`
	Level string `json:"level"`
}

// Run shows or changes the level of every host that is named.
func (c logLevelCommand) Run(con *console) error {
	hosts, err := c.client()
	if err != nil {
		return err
	}
	levels := []levelOutput{}
	for _, address := range c.Host {
		if c.Set != "" {
			if err := hosts.SetLevel(con.ctx, address, c.Set); err != nil {
				return err
			}
		}
		level, err := hosts.Level(con.ctx, address)
		if err != nil {
			return err
		}
		levels = append(levels, levelOutput{Host: address, Level: level})
	}
	if c.JSON {
		return con.json(levels)
	}
	for _, l := range levels {
		con.printf("%s  %s\n", l.Host, l.Level)
	}
	return nil
}
