package main

import (
	"fmt"
	"strings"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/operator"
)

// configuration prints the active configuration in human-readable form.
func (c *console) configuration(shown *operator.Configuration) {
	c.printf("revision %d\n\n", shown.Revision)
	rows := [][]string{{"ROUTE", "PATH", "POOL", "ACCESS", "CUSTOMERS", "SEMANTICS", "BODY", "TIMEOUT", "FIRST BYTE", "SHIFT CAP"}}
	for i := range shown.Routes {
		r := &shown.Routes[i]
		rows = append(rows, []string{
			string(r.Name), r.PathPrefix, string(r.Pool), string(r.Access), allowedCustomers(r), string(r.Semantics),
			fmt.Sprintf("%d B", r.MaxBodyBytes), r.Timeout().String(), r.FirstByteTimeout().String(),
			fmt.Sprintf("%g Mbit/s", r.ShiftCapMbit),
		})
	}
	c.table(rows)
	rows = [][]string{{"\nCUSTOMER", "RATE", "BURST", "WEIGHT", "KEYS"}}
	for _, customer := range shown.Customers {
		rows = append(rows, []string{
			string(customer.ID), fmt.Sprintf("%g/s", customer.Rate), fmt.Sprintf("%g", customer.Burst),
			fmt.Sprint(customer.Weight), strings.Join(customer.Keys, " "),
		})
	}
	c.table(rows)
	rows = [][]string{{"\nCLIENT BLOCK", "REGION"}}
	for _, block := range shown.ClientBlocks {
		rows = append(rows, []string{block.Prefix.String(), string(block.Region)})
	}
	c.table(rows)
	if more := shown.ClientBlockCount - len(shown.ClientBlocks); more > 0 {
		c.printf("and %d more\n", more)
	}
	c.printf("\nALERT RULES\n")
	for _, line := range shown.AlertRules {
		c.printf("%s\n", line)
	}
}

func allowedCustomers(r *configuration.Route) string {
	switch {
	case r.Access == configuration.AccessOpen:
		return "-"
	case len(r.Customers) == 0:
		return "all"
	}
	return joinCustomers(r.Customers)
}

func joinCustomers(list []fleet.Customer) string {
	names := make([]string, 0, len(list))
	for _, id := range list {
		names = append(names, string(id))
	}
	return strings.Join(names, ",")
}
