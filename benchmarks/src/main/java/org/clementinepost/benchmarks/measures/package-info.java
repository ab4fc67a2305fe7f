/** Measures of the routing decisions on fake hosts and backend servers, in virtual time. */
package org.clementinepost.benchmarks.measures;
