/** The active configuration of this node. */
package org.clementinepost.node.configuration;
