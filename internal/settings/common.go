package settings

import (
	"time"

	"filbertdeck/internal/version"
)

// Common holds the settings that all server processes share.
type Common struct {
	Host       string        `arg:"--host,env:FILBERT_HOST" check:"text" default:"host-1" help:"name of this host, as the platform publishes it"`
	DataCentre string        `arg:"--data-centre,env:FILBERT_DATA_CENTRE" check:"text" default:"dc-1" help:"data centre of this host"`
	LogFormat  string        `arg:"--log-format,env:FILBERT_LOG_FORMAT" check:"text|json" default:"text" help:"form of the log lines"`
	LogLevel   string        `arg:"--log-level,env:FILBERT_LOG_LEVEL" check:"debug|info|warn|error" default:"info" help:"least level that is logged"`
	StopWait   time.Duration `arg:"--stop-wait,env:FILBERT_STOP_WAIT" check:"0s..24h" default:"1h" help:"how long a graceful stop waits for requests in progress"`
	StopNotice time.Duration `arg:"--stop-notice,env:FILBERT_STOP_NOTICE" check:"50ms..5m" default:"3s" help:"how long a stopping process stays open after it reports not ready, so that the balancer notices"`

	TLSCert   string `arg:"--tls-cert,env:FILBERT_TLS_CERT" check:"file?" help:"certificate file for all listeners (PEM), reloaded when it changes"`
	TLSKey    string `arg:"--tls-key,env:FILBERT_TLS_KEY" check:"file?" help:"private key file of the certificate (PEM)"`
	TLSCA     string `arg:"--tls-ca,env:FILBERT_TLS_CA" check:"file?" help:"authority file (PEM) that peers' certificates must stem from"`
	PlainText bool   `arg:"--plain-text,env:FILBERT_PLAIN_TEXT" help:"speak without TLS; allowed on loopback addresses only"`
}

// Version implements go-arg's Versioned interface.
func (Common) Version() string { return version.String() }
