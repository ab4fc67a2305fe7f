/** The metrics of a node and their output formats. */
package org.clementinepost.node.metrics;
