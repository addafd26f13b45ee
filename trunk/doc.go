// Package trunk owns connections to backend servers: HTTP/1.1 over pooled TCP
// connections that carry one request at a time. It tells a request that
// certainly never left this process from one that may have arrived, matches
// answers to requests, and never repeats a request by itself.
package trunk
