package ctl

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const (
	pemType     = "PRIVATE KEY" // PKCS #8
	keyFileMode = 0o600
	othersMask  = 0o077 // rights of the group and of all
)

// namedKey is a private key of a tenant.
type namedKey struct {
	name string
	key  ed25519.PrivateKey
}

// keyFlags collects -key NAME=FILE.
type keyFlags []string

func (k *keyFlags) String() string { return strings.Join(*k, ",") }

// Set adds one key.
func (k *keyFlags) Set(v string) error {
	if name, file, ok := strings.Cut(v, "="); !ok || name == "" || file == "" {
		return errors.New("must be NAME=FILE")
	}
	*k = append(*k, v)
	return nil
}

func (k *keyFlags) register(fs *flag.FlagSet) {
	fs.Var(k, "key", "NAME=FILE of a private key to sign with; may be repeated")
}

func (k keyFlags) load() ([]namedKey, error) {
	if len(k) == 0 {
		return nil, exitf(ExitUsage, "-key NAME=FILE is missing")
	}
	var keys []namedKey
	for _, v := range k {
		name, file, _ := strings.Cut(v, "=")
		key, err := readKey(file)
		if err != nil {
			return nil, err
		}
		keys = append(keys, namedKey{name: name, key: key})
	}
	return keys, nil
}

// readKey reads a private key that only its user can read.
func readKey(file string) (ed25519.PrivateKey, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, fmt.Errorf("key: %w", err)
	}
	if info.Mode().Perm()&othersMask != 0 {
		return nil, exitf(ExitRefused, "key: %s may be read by others; set its mode to %#o", file, keyFileMode)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("key: %w", err)
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != pemType {
		return nil, exitf(ExitRefused, "key: %s is not a PEM file of a private key", file)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, exitf(ExitRefused, "key: %s: %w", file, err)
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, exitf(ExitRefused, "key: %s is not an Ed25519 key", file)
	}
	return key, nil
}

// writeKey writes a new file; it never replaces one.
func writeKey(file string, key ed25519.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("keygen: %w", err)
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return fmt.Errorf("keygen: %w", err)
	}
	err = pem.Encode(f, &pem.Block{Type: pemType, Bytes: der})
	if err := errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("keygen: %w", err)
	}
	return nil
}

// generatedKey is the output of keygen.
type generatedKey struct {
	Name      string `json:"name"`
	Tenant    string `json:"tenant"`
	PublicKey string `json:"public_key"`
	File      string `json:"file"`
}

func (a *app) keygenCommand() *ffcli.Command {
	var tenant, out string
	return a.leaf("", leaf{
		name: "keygen", args: "<key name>", min: 1, max: 1,
		help: "Make an Ed25519 key pair of a tenant.",
		long: "The private key goes to a new file of mode 0600 that only its user can read.\n" +
			"The public key is printed as a row of the sheet and as settings.",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&tenant, "tenant", "", "name of the tenant")
			fs.StringVar(&out, "out", "", "file of the private key; default NAME.pem")
		},
		run: func(_ context.Context, args []string) error {
			if tenant == "" {
				return exitf(ExitUsage, "-tenant is missing")
			}
			if out == "" {
				out = args[0] + ".pem"
			}
			public, private, err := ed25519.GenerateKey(rand.Reader)
			if err != nil {
				return fmt.Errorf("keygen: %w", err)
			}
			if err := writeKey(out, private); err != nil {
				return err
			}
			g := generatedKey{Name: args[0], Tenant: tenant, File: out, PublicKey: base64.StdEncoding.EncodeToString(public)}
			return a.print(g, g.write)
		},
	})
}

func (g generatedKey) write(w io.Writer) {
	fmt.Fprintf(w, "private key: %s\n\n", g.File)
	fmt.Fprintf(w, "row of the sheet:\nkey,%s,%s,active,,,,,,,,,%s,\n\n", g.Name, g.Tenant, g.PublicKey)
	fmt.Fprintf(w, "settings of the daemons:\ntenant_keys:\n  - name: %s\n    tenant: %s\n    public_key: %s\n",
		g.Name, g.Tenant, g.PublicKey)
}
