/** Benchmarks of the decisions of a host. */
package org.clementinepost.benchmarks.host;
