package node

import (
	"bytes"
	"os"

	"github.com/ansel1/merry/v2"

	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/setup"
)

// minSecretBytes is the minimum length of a secret.
const minSecretBytes = 16

// newHasher returns the hasher of access keys.
func newHasher(settings *setup.Entry) (*ident.Hasher, error) {
	return ReadHasher(settings.KeySecretFile)
}

// ReadHasher reads from a file the secret with which access keys and operators'
// tokens are hashed.
func ReadHasher(path string) (*ident.Hasher, error) {
	secrets, err := readSecrets(path)
	if err != nil {
		return nil, err
	}
	if len(secrets) > 1 {
		return nil, merry.Errorf("%s holds more than one line", path)
	}
	return ident.NewHasher(secrets[0]), nil
}

// newKeyring reads the secrets with which tickets are signed.
func newKeyring(process *setup.Process) (*ident.Keyring, error) {
	secrets, err := readSecrets(process.TicketSecretFile)
	if err != nil {
		return nil, err
	}
	return ident.NewKeyring(ident.KeyringConfig{Secrets: secrets}), nil
}

// readSecrets returns the non-empty lines of a file. It returns an error if there
// are none, or if one is too short.
func readSecrets(path string) ([][]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var secrets [][]byte
	for line := range bytes.Lines(content) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		if len(line) < minSecretBytes {
			return nil, merry.Errorf("%s: a secret has %d bytes, at least %d are needed", path, len(line), minSecretBytes)
		}
		secrets = append(secrets, line)
	}
	if len(secrets) == 0 {
		return nil, merry.Errorf("%s holds no secret", path)
	}
	return secrets, nil
}
