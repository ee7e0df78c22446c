package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/machine"
	connections "github.com/catkinspring/catkinspring/peer"
)

// frameSize is the size of the length prefix of each message, in bytes.
const frameSize = 4

// trafficCounter counts the messages and encoded bytes that a machine sends.
type trafficCounter struct {
	machine.Machine
	codec    *connections.Codec
	messages int
	bytes    int
}

func (c *trafficCounter) Step(now machine.Now, in machine.Input) []machine.Output {
	outputs := c.Machine.Step(now, in)
	for _, out := range outputs {
		send, ok := out.(machine.Send)
		if !ok {
			continue
		}
		encoded, err := c.codec.Encode(send.Message)
		if err != nil {
			panic(err)
		}
		c.messages++
		c.bytes += frameSize + len(encoded)
	}
	return outputs
}

// BenchmarkTraffic reports the bytes and messages per second that a host sends
// in the normal state, by the number of hosts in its cell.
func BenchmarkTraffic(b *testing.B) {
	codec, err := connections.NewCodec(Messages())
	require.NoError(b, err)
	const measured = 10 * DefaultLeaseDuration
	for _, hosts := range []int{4, 8, 16, 32, 64} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			var counters []*trafficCounter
			for range b.N {
				counters = nil
				s := newCell(1, hosts, func(o Options) machine.Machine {
					c := &trafficCounter{Machine: New(o), codec: codec}
					counters = append(counters, c)
					return c
				})
				s.lease = DefaultLeaseDuration
				s.startAll()
				s.rig.Run(6 * DefaultLeaseDuration)
				require.Empty(b, s.unsettled())
				for _, c := range counters {
					c.bytes, c.messages = 0, 0
				}
				s.rig.Run(measured)
			}
			bytes, messages := 0, 0
			for _, c := range counters {
				bytes += c.bytes
				messages += c.messages
			}
			perHost := float64(hosts) * measured.Seconds()
			b.ReportMetric(float64(bytes)/perHost, "bytes/s/host")
			b.ReportMetric(float64(messages)/perHost, "messages/s/host")
		})
	}
}

// BenchmarkStep measures a step of one host of a formed cell: for a received
// heartbeat, for a tick, and for a tick that sends all heartbeats.
func BenchmarkStep(b *testing.B) {
	for _, hosts := range []int{4, 16, 64} {
		s := newCell(1, hosts, buildMembership)
		s.startAll()
		s.rig.Run(6 * lease)
		p := s.running["host-00"]
		m := p.machine.(*Membership)
		now := p.node.Time()
		from := s.running["host-01"].node.Member
		heartbeat := Heartbeat{To: shortIncarnation(m.options.Self.Incarnation), Flags: flagLease, Generation: m.known.Generation, ReadAge: 100}
		b.Run(fmt.Sprintf("heartbeat/hosts=%d", hosts), func(b *testing.B) {
			heartbeat.Sequence = m.peers[from.Incarnation].sequence
			for range b.N {
				heartbeat.Sequence++
				heartbeat.Seen = m.heartbeat.sequence
				m.Step(now, machine.Received{From: from, Message: heartbeat})
			}
		})
		b.Run(fmt.Sprintf("tick/hosts=%d", hosts), func(b *testing.B) {
			for range b.N {
				now.Instant += machine.Instant(time.Microsecond)
				m.Step(now, machine.Tick{})
			}
		})
		b.Run(fmt.Sprintf("send/hosts=%d", hosts), func(b *testing.B) {
			for range b.N {
				m.heartbeat.nextAt = 0
				m.Step(now, machine.Tick{})
			}
		})
	}
}
