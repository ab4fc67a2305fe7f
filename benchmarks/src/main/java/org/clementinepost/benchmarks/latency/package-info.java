/** Benchmark of the latency that the proxy adds to a request, measured on running processes. */
package org.clementinepost.benchmarks.latency;
