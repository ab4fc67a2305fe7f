/** The configuration in force on this node. */
package org.clementinepost.node.configuration;
