/** The planned stop of a node. */
package org.clementinepost.node.stop;
