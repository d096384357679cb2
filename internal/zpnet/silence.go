package zpnet

import (
	"net"
	"time"
)

const (
	// probeInterval is the minimum of TCP_KEEPIDLE and TCP_KEEPINTVL.
	probeInterval = time.Second
	// minRetransmissionTimeout is that of the kernel with the round trip between regions.
	minRetransmissionTimeout = 300 * time.Millisecond
)

// SilenceTimeout returns a silence timeout for peers whose kernel may drop or delay all
// packets for up to maxPause and go on. It is a whole number of probe intervals, because the
// kernel looks at idle connections only then.
func SilenceTimeout(maxPause time.Duration) time.Duration {
	// The time between retransmissions doubles, so one is sent at the latest that long after
	// bytes that the peer missed.
	retransmitted := 2*maxPause + minRetransmissionTimeout
	// Idle connections bring nothing for an interval before the first probe that a pause swallows,
	// and the one after the pause needs another until its answer is looked at.
	probed := roundUp(maxPause, probeInterval) + 2*probeInterval
	return max(roundUp(retransmitted, probeInterval), probed)
}

// probesFor returns keep-alive probes that give up after silenceTimeout, rounded up to a whole
// number of intervals. Linux ignores their count where TCP_USER_TIMEOUT is set, and gives up at
// the first probe that is due after that, so both are derived from the same time.
func probesFor(silenceTimeout time.Duration) net.KeepAliveConfig {
	count := roundUp(silenceTimeout, probeInterval)/probeInterval - 1 // the first is sent after an idle interval
	return net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: max(int(count), 1)}
}

func roundUp(d, unit time.Duration) time.Duration { return (d + unit - 1) / unit * unit }
