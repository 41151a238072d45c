// Package wiring connects an entry node to the platform and the backend servers through the HTTP adapters. It is
// the only package that has to change to use other adapters.
package wiring

import (
	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/adapter/enginehttp"
	"github.com/pollenlug/pollenlug/internal/adapter/platformhttp"
	"github.com/pollenlug/pollenlug/internal/adapter/servicehttp"
	"github.com/pollenlug/pollenlug/internal/node"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/transport"
)

// NewNode returns an entry node that uses the HTTP adapters. The configure functions may modify its options.
func NewNode(settings *pb.NodeSettings, credentials *transport.Credentials, log *logrus.Entry, configure ...func(*node.Options)) (*node.Node, error) {
	client, err := platformhttp.New(platformhttp.Options{BaseURL: settings.PlatformUrl})
	if err != nil {
		return nil, err
	}
	opts := node.Options{
		Settings: settings,
		Platform: node.Platform{
			Table:     client.Table(),
			Objects:   client.Objects(),
			Folder:    client.Folder(),
			Cloud:     client.Cloud(),
			Instances: client.Instances(),
			Weights:   client.Weights(),
		},
		Credentials: credentials,
		Engine:      enginehttp.New(enginehttp.Options{}),
		Service:     servicehttp.New(servicehttp.Options{}),
		Log:         log,
	}
	for _, fn := range configure {
		fn(&opts)
	}
	return node.New(opts)
}
