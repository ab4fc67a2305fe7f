/** Follows tables of the store, for this node and for other nodes that ask it. */
package org.clementinepost.node.feed;
