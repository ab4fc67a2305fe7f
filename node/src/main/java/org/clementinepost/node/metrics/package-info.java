/** What the node counts and measures. */
package org.clementinepost.node.metrics;
