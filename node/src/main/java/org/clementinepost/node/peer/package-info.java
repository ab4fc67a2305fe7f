/** Connections between nodes, and the streams of requests that they carry. */
package org.clementinepost.node.peer;
