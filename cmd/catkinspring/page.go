package main

import (
	_ "embed"
	"html/template"
	"os"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/operator/client"
)

//go:embed timeline.html
var pageText string

var pageTemplate = template.Must(template.New("timeline").Parse(pageText))

// The geometry of the plot, in pixels. dotOffset is how far the center of a dot is
// above the Y coordinate of its lane.
const (
	plotLeft       = 160
	plotWidth      = 1000
	plotLaneHeight = 24
	plotTop        = 30
	plotMargin     = 20
	dotOffset      = 4
)

type pageLane struct {
	Name string
	Y    int
}

type pageDot struct {
	X, Y  int
	Color string
	Title string
}

type pageRow struct {
	Time, Host, Kind, Customer, Request, Subject, Text string
}

type pageData struct {
	Width, Height  int
	First, Last    string
	Left, Right    int
	Lanes          []pageLane
	Dots           []pageDot
	Rows           []pageRow
	Unreached      []client.Unreached
	KindsAndColors []pageLegend
}

type pageLegend struct{ Kind, Color string }

// colors can be distinguished by readers with impaired color vision (Okabe and Ito,
// "Color Universal Design", 2008).
var colors = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000"}

// writePage writes an HTML page with a lane per host and a dot per event.
func writePage(path string, t client.Timeline) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "page")
	}
	if err := pageTemplate.Execute(file, newPage(t)); err != nil {
		_ = file.Close()
		return eris.Wrap(err, "page")
	}
	return eris.Wrap(file.Close(), "page")
}

func newPage(t client.Timeline) pageData {
	data := pageData{Left: plotLeft, Right: plotLeft + plotWidth, Width: plotLeft + plotWidth + plotMargin, Unreached: t.Unreached}
	lanes := map[string]int{}
	for i := range t.Events {
		lanes[string(t.Events[i].Host)] = 0
	}
	names := make([]string, 0, len(lanes))
	for name := range lanes {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		lanes[name] = plotTop + i*plotLaneHeight
		data.Lanes = append(data.Lanes, pageLane{Name: name, Y: lanes[name]})
	}
	data.Height = plotTop + len(names)*plotLaneHeight + plotMargin
	if len(t.Events) == 0 {
		return data
	}
	first, last := t.Events[0].Time.WallMillis, t.Events[len(t.Events)-1].Time.WallMillis
	data.First, data.Last = clockTime(first), clockTime(last)
	colorOfKind := map[string]string{}
	for i := range t.Events {
		e := &t.Events[i]
		if _, known := colorOfKind[e.Kind]; !known {
			colorOfKind[e.Kind] = colors[len(colorOfKind)%len(colors)]
			data.KindsAndColors = append(data.KindsAndColors, pageLegend{e.Kind, colorOfKind[e.Kind]})
		}
		x := plotLeft + int((e.Time.WallMillis-first)*plotWidth/max(1, last-first))
		at := clockTime(e.Time.WallMillis)
		data.Dots = append(data.Dots, pageDot{
			X: x, Y: lanes[string(e.Host)] - dotOffset, Color: colorOfKind[e.Kind], Title: at + " " + e.Kind + " " + e.Subject + " " + e.Text,
		})
		data.Rows = append(data.Rows, pageRow{
			Time: at, Host: string(e.Host), Kind: e.Kind, Customer: string(e.Customer),
			Request: e.Request, Subject: e.Subject, Text: e.Text,
		})
	}
	return data
}
