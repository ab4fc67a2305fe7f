/** Accepts callers' HTTP requests and processes each through the services of the node. */
package org.clementinepost.node.edge;
