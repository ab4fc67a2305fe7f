/** Connections to the other nodes. */
package org.clementinepost.node.peer;
