/** Discrete-event simulation that measures the routing decisions in virtual time. */
package org.clementinepost.benchmarks.measures;
