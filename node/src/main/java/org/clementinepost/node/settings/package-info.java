/** The node's settings file. */
package org.clementinepost.node.settings;
