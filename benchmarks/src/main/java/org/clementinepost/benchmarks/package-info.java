/** Reproducible benchmarks of the proxy fleet. */
package org.clementinepost.benchmarks;
