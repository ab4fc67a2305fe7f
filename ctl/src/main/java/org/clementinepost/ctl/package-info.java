/** The operators' command line. */
package org.clementinepost.ctl;
