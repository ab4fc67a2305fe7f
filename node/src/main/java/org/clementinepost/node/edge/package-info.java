/** Callers' HTTP requests and the way of each through the node. */
package org.clementinepost.node.edge;
