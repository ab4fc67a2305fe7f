/** The graceful stop of a node. */
package org.clementinepost.node.stop;
