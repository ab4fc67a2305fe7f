/** What the fleet adds to a request, measured on running processes. */
package org.clementinepost.benchmarks.latency;
