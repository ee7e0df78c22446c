package main

type logCommand struct {
	Level logLevelCommand `cmd:"" help:"Show or change the lowest level that each named host logs, until it restarts."`
}

type logLevelCommand struct {
	Set string `arg:"" optional:"" enum:"debug,info,warn,error," default:"" help:"New level: debug, info, warn or error. Without it the levels are shown."`
	fleetFlags
	jsonFlag
}

// levelOutput is the log level of one host.
type levelOutput struct {
	Host  string `json:"host"`
	Level string `json:"level"`
}

// Run shows or changes the log level of every host on the command line.
func (c logLevelCommand) Run(con *console) error {
	fleetClient, err := c.client()
	if err != nil {
		return err
	}
	levels := []levelOutput{}
	for _, address := range c.Host {
		if c.Set != "" {
			if err := fleetClient.SetLevel(con.ctx, address, c.Set); err != nil {
				return err
			}
		}
		level, err := fleetClient.Level(con.ctx, address)
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
