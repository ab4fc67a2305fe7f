/** The node: its kernel services and the binary that starts them. */
package org.clementinepost.node;
