package zppeer_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/zinniapaddle/zinniapaddle/internal/zporigin"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer/zppeerpb"
)

// earlierOrigins answers as a daemon of release 8e5a154 does: it knows only the first field of
// requests and replies.
type earlierOrigins struct {
	zppeerpb.DRPCSharingUnimplementedServer
	origins  map[string]*zppeerpb.StreamOrigin
	received []string // requests
}

// FindOrigin implements zppeerpb.DRPCSharingServer.
func (s *earlierOrigins) FindOrigin(_ context.Context, in *zppeerpb.FindOriginRequest) (*zppeerpb.FindOriginReply, error) {
	earlier := decodeEarlier("FindOriginRequest", in)
	request := earlier.Get(firstFieldOf(earlier)).String()
	s.received = append(s.received, request)
	return &zppeerpb.FindOriginReply{Origin: s.origins[request]}, nil
}

// serveEarlier serves impl and returns its address.
func serveEarlier(impl zppeerpb.DRPCSharingServer) string {
	GinkgoHelper()
	lis, err := zppeer.Listen("127.0.0.1:0", nil)
	Expect(err).NotTo(HaveOccurred())
	mux := drpcmux.New()
	Expect(zppeerpb.DRPCRegisterSharing(mux, impl)).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- drpcserver.New(mux).Serve(ctx, lis) }()
	DeferCleanup(func() {
		cancel()
		Eventually(done).Should(Receive())
	})
	return lis.Addr().String()
}

// decodeEarlier returns a message as a daemon reads it that knows only its first field.
func decodeEarlier(name string, m proto.Message) *dynamicpb.Message {
	GinkgoHelper()
	file := protodesc.ToFileDescriptorProto(zppeerpb.File_peer_proto)
	file.Service = nil
	for _, x := range file.MessageType {
		if x.GetName() == name {
			x.Field, x.OneofDecl = []*descriptorpb.FieldDescriptorProto{x.Field[0]}, nil
		}
	}
	earlier, err := protodesc.NewFile(file, nil)
	Expect(err).NotTo(HaveOccurred())
	text, err := proto.Marshal(m)
	Expect(err).NotTo(HaveOccurred())
	out := dynamicpb.NewMessage(earlier.Messages().ByName(protoreflect.Name(name)))
	Expect(proto.Unmarshal(text, out)).To(Succeed())
	return out
}

func firstFieldOf(m *dynamicpb.Message) protoreflect.FieldDescriptor {
	return m.Descriptor().Fields().ByNumber(1)
}

func newDialer() *zppeer.Dialer {
	d := &zppeer.Dialer{Timeout: time.Second}
	d.Open()
	DeferCleanup(d.Close)
	return d
}

var _ = Describe("FindOrigin between releases", func() {
	origin := zporigin.Origin{Request: "x", Pool: "p", Version: "v2"}
	wireOrigin := &zppeerpb.StreamOrigin{Request: "x", Pool: "p", SoftwareVersion: "v2"}

	It("takes the word of a daemon of an earlier release for a stream that it knows", func() {
		s := &earlierOrigins{origins: map[string]*zppeerpb.StreamOrigin{"x": wireOrigin}}
		reply, err := zppeer.FindOrigin(context.Background(), newDialer(), serveEarlier(s), "x", "p")
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.IsKnown).To(BeTrue())
		Expect(reply.Origin).To(Equal(origin))
		Expect(s.received).To(Equal([]string{"x"}))
	})

	It("does not take the silence of a daemon of an earlier release for its word that there is no stream", func() {
		reply, err := zppeer.FindOrigin(context.Background(), newDialer(), serveEarlier(&earlierOrigins{}), "x", "p")
		Expect(err).NotTo(HaveOccurred())
		Expect(reply).To(Equal(zporigin.Reply{SeenFor: zporigin.UnknownTime, Versions: map[string]time.Duration{}}))
	})

	It("reports an error of a daemon of a release without origins", func() {
		_, err := zppeer.FindOrigin(context.Background(), newDialer(), serveEarlier(&zppeerpb.DRPCSharingUnimplementedServer{}), "x", "p")
		Expect(err).To(HaveOccurred())
	})

	DescribeTable("answers a daemon of an earlier release as that release did",
		func(request string, isKnown bool) {
			table := zporigin.NewTable()
			now := time.Unix(1000, 0)
			table.Record(origin, now)
			d := &zporigin.Directory{Table: table, Pools: zporigin.NewVersions(), KeepsSince: func() time.Time { return now.Add(-time.Minute) }, SeesSince: func() time.Time { return now.Add(-time.Minute) }, ListedAt: func() time.Time { return now }}
			d.Pools.Observe("p", []string{"v1", "v2"}, now.Add(-time.Second))
			h := &zppeer.SharingHandler{OriginOf: func(request, pool string) zporigin.Reply { return d.Answer(request, pool, now) }}
			reply, err := h.FindOrigin(context.Background(), &zppeerpb.FindOriginRequest{Request: request})
			Expect(err).NotTo(HaveOccurred())
			earlier := decodeEarlier("FindOriginReply", reply)
			field := firstFieldOf(earlier)
			Expect(earlier.Has(field)).To(Equal(isKnown))
			if isKnown {
				version := field.Message().Fields().ByName("software_version")
				Expect(earlier.Get(field).Message().Get(version).String()).To(Equal("v2"))
			}
		},
		Entry("with a stream that it knows", "x", true),
		Entry("without one that it does not know", "y", false),
	)

	It("tells a daemon of an earlier release the origins of streams in the message that it knows", func() {
		in := &zppeerpb.RecordOriginsRequest{Origins: []*zppeerpb.StreamOrigin{wireOrigin}}
		text, err := proto.Marshal(in)
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal([]byte("\x0a\x0a\x0a\x01x\x12\x01p\x1a\x02v2")))
	})
})
