package certs

// FileSet names the PEM files of one listener or client.
type FileSet struct {
	// Certificate and Key are the certificate of this process and its private key.
	Certificate string
	Key         string
	// Authority is the certificate authority of the peers. If it is empty, a
	// listener requires no client certificate and a client trusts the system's
	// authorities.
	Authority string
}

// Empty reports whether no file is named.
func (fileSet FileSet) Empty() bool {
	return fileSet.Certificate == "" && fileSet.Key == "" && fileSet.Authority == ""
}
