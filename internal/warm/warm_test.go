package warm

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/gaissmai/bart"
	_ "github.com/gofiber/fiber/v3"
	_ "github.com/google/uuid"
	_ "github.com/quic-go/quic-go"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/rotisserie/eris"
	_ "github.com/rs/zerolog"
	_ "github.com/sourcegraph/conc"
	_ "github.com/sourcegraph/conc/pool"
	_ "github.com/stretchr/testify/assert"
	_ "github.com/stretchr/testify/require"
	_ "github.com/tailscale/hujson"
	_ "github.com/valyala/fasthttp"
	_ "github.com/valyala/fasthttp/fasthttputil"
	_ "pgregory.net/rapid"
)
