package e2e

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// writePeerCertificates writes a certificate authority, a peer certificate that
// it signed, and the key of the peer.
func writePeerCertificates(t testing.TB, folder string) settings.TLS {
	t.Helper()
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageCertSign, BasicConstraintsValid: true,
	}
	peerKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	peer := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "peer"}, DNSNames: []string{"geraniumpitch-peer"},
		NotBefore: authority.NotBefore, NotAfter: authority.NotAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	authorityDER, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	if err != nil {
		t.Fatal(err)
	}
	peerDER, err := x509.CreateCertificate(rand.Reader, peer, authority, &peerKey.PublicKey, authorityKey)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(peerKey)
	if err != nil {
		t.Fatal(err)
	}
	files := settings.TLS{
		Certificate: filepath.Join(folder, "peer.crt"), Key: filepath.Join(folder, "peer.key"), Authority: filepath.Join(folder, "authority.crt"),
	}
	for file, block := range map[string]*pem.Block{
		files.Certificate: {Type: "CERTIFICATE", Bytes: peerDER},
		files.Key:         {Type: "EC PRIVATE KEY", Bytes: keyDER},
		files.Authority:   {Type: "CERTIFICATE", Bytes: authorityDER},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// Guards against processes that accept connections without TLS although mutual
// TLS is configured, and against recovery that works only without TLS.
func TestMutualTLS(t *testing.T) {
	s := smallTopology()
	s.tls = writePeerCertificates(t, t.TempDir())
	d := startDeployment(t, s)
	const n = 10
	results := d.generateAll(n, "small", document.Patient, "a")
	time.Sleep(time.Second)
	d.entries[0].kill()
	collect(t, results, n)
	plaintextDialer := rpc.NewDialer(nil, &rpc.Counters{})
	defer plaintextDialer.Close()
	_, err := rpc.Call(t.Context(), plaintextDialer, d.entries[1].proxy.Target(), time.Second,
		func(ctx context.Context, conn drpc.Conn) (*wire.ProbeResponse, error) {
			return wire.NewDRPCMembershipClient(conn).Probe(ctx, &wire.ProbeRequest{})
		})
	if err == nil {
		t.Error("an entry instance answered a call without TLS")
	}
	_, err = rpc.Call(t.Context(), plaintextDialer, d.control[0].proxy.Target(), time.Second,
		func(ctx context.Context, conn drpc.Conn) (*wire.ReadResponse, error) {
			return wire.NewDRPCControlClient(conn).Read(ctx, &wire.ReadRequest{})
		})
	if err == nil {
		t.Error("a control instance answered a call without TLS")
	}
}
