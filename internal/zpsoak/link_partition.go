package zpsoak

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

const (
	// hangBacklog is the length of the queue of new connections that are left in it, so that
	// the kernel drops what other clients send to connect.
	hangBacklog = 1
	maxFillers  = 8
	fillTimeout = 60 * time.Millisecond
)

// cutClient cuts the client of the link off from the target, in the way that kind says.
func (l *Link) cutClient(kind Kind) error {
	l.partition = kind
	switch kind {
	case StrandedHang:
		l.setSideMode(clientSide, LinkMode{HoldToTarget: true, HoldFromTarget: true})
		return l.holdConnects()
	case StrandedReset:
		l.setSideMode(clientSide, LinkMode{Refuse: true})
		err := l.lis.Close()
		l.Reset()
		return err
	default:
		return l.lis.Close()
	}
}

// joinClient ends the cut. Data that was held goes on.
func (l *Link) joinClient() error {
	kind := l.partition
	l.partition = ""
	l.setSideMode(clientSide, LinkMode{})
	switch kind {
	case "":
		return nil
	case StrandedHang:
		return l.releaseConnects()
	default:
		return l.listen()
	}
}

// holdConnects makes new connections hang while they connect.
func (l *Link) holdConnects() error {
	if err := l.lis.(*net.TCPListener).SetDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	<-l.accepting
	if err := l.setBacklog(hangBacklog); err != nil {
		return err
	}
	for range maxFillers {
		c, err := net.DialTimeout("tcp", l.Listen, fillTimeout)
		if err != nil {
			return nil
		}
		l.fillers = append(l.fillers, c)
	}
	return fmt.Errorf("connections to %s do not hang", l.Listen)
}

func (l *Link) releaseConnects() error {
	for _, c := range l.fillers {
		_ = c.Close()
	}
	l.fillers = nil
	err := errors.Join(l.setBacklog(syscall.SOMAXCONN), l.lis.(*net.TCPListener).SetDeadline(time.Time{}))
	l.startAccepting()
	return err
}

func (l *Link) setBacklog(n int) error {
	raw, err := l.lis.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) })
	return errors.Join(err, listenErr)
}
