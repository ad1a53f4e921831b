package fake

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"
)

// certValidity is how long before and after its creation a certificate is valid.
const certValidity = time.Hour

// Authority is a certificate authority that signs the certificates of a test.
type Authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	// PEM is the authority's own certificate in PEM.
	PEM []byte
}

// Certificate is a certificate (Cert) and its PKCS #8 private key (Key), both in
// PEM.
type Certificate struct {
	Cert []byte
	Key  []byte
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := certificateTemplate()
	template.Subject = pkix.Name{CommonName: "authority"}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{key: key, cert: cert, PEM: encodePEM("CERTIFICATE", der)}, nil
}

// Issue returns a certificate with a new key for dnsName, valid for client and
// server authentication.
func (a *Authority) Issue(dnsName string) (Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Certificate{}, err
	}
	template := certificateTemplate()
	template.DNSNames = []string{dnsName}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Certificate{}, err
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Certificate{}, err
	}
	return Certificate{Cert: encodePEM("CERTIFICATE", der), Key: encodePEM("PRIVATE KEY", pkcs8)}, nil
}

// certificateTemplate returns the fields that all certificates have in common: the
// serial number and the validity.
func certificateTemplate() *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		NotBefore:    now.Add(-certValidity),
		NotAfter:     now.Add(certValidity),
	}
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}
