/** Measurements that anyone can run again. */
package org.clementinepost.benchmarks;
