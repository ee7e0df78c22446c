package main

import (
	"errors"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/internal/control"
	"github.com/catkinspring/catkinspring/operator"
	"github.com/catkinspring/catkinspring/operator/client"
	"github.com/catkinspring/catkinspring/platform"
	"github.com/catkinspring/catkinspring/settings"
)

// The exit codes of the program. Kong uses 80 for an invalid command line.
const (
	exitFailed = 1
	// exitConfigurationUnreadable is the code of config check; findings have exitFailed.
	exitConfigurationUnreadable = 2
	exitSettings                = 2
	exitListen                  = 3
	exitForcedStop              = 4
	exitUnreachable             = 5
	exitNoteInvalid             = 6
	exitNoteRaced               = 7
	exitNotInForce              = 8
	exitUndecided               = 9
	exitCredential              = 10
	exitNotAccepted             = 11
	exitNotFound                = 12
	exitInvalidUsage            = 80
)

// failureCodes maps the failure kinds that a host returns to exit codes.
var failureCodes = map[operator.FailureKind]int{
	operator.FailureCredential:  exitCredential,
	operator.FailureNotFound:    exitNotFound,
	operator.FailureNoteInvalid: exitNoteInvalid,
	operator.FailureNoteReused:  exitNoteRaced,
	operator.FailureNoteRaced:   exitNoteRaced,
	operator.FailureUndecided:   exitUndecided,
	operator.FailureUnavailable: exitNotAccepted,
}

// exitCode returns the exit code of an error, by which scripts can distinguish causes.
func exitCode(err error) int {
	var (
		unopened    *configurationReadError
		invalid     *settings.Error
		unreadable  *settings.ReadError
		secret      *settings.SecretError
		listen      *control.ListenError
		platformErr *platform.SettingsError
		forcedStop  *forcedStopError
		usage       *HostRequiredError
		upstreams   *upstreamsError
		unreachable *client.UnreachableError
		notInForce  *client.NotInForceError
		refused     *client.FailureError
		note        *configuration.NoteError
		notFound    *operator.NotFoundError
		undecided   *client.UndecidedError
	)
	switch {
	case errors.As(err, &unopened):
		return exitConfigurationUnreadable
	case errors.As(err, &invalid), errors.As(err, &unreadable), errors.As(err, &secret), errors.As(err, &platformErr):
		return exitSettings
	case errors.As(err, &listen):
		return exitListen
	case errors.As(err, &forcedStop):
		return exitForcedStop
	case errors.As(err, &usage), errors.As(err, &upstreams):
		return exitInvalidUsage
	case errors.As(err, &unreachable):
		return exitUnreachable
	case errors.As(err, &undecided):
		return exitUndecided
	case errors.As(err, &notInForce):
		return exitNotInForce
	case errors.As(err, &note):
		return exitNoteInvalid
	case errors.As(err, &notFound):
		return exitNotFound
	case errors.As(err, &refused):
		if code, known := failureCodes[refused.Failure.Kind]; known {
			return code
		}
	}
	return exitFailed
}
