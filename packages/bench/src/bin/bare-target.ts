/**
 * Runs a bare target until it receives SIGTERM. Prints its addresses as one line of JSON.
 *
 * Usage: node bare-target.js ADDRESSES
 *
 * @module
 */
import * as bareTarget from '../processes/bare-target.js'

const target = await bareTarget.startBareTarget(Number(process.argv[2] ?? 1))
console.log(JSON.stringify(target.addresses))
process.once('SIGTERM', () => { target.close().then(() => process.exit(0), () => process.exit(1)) })
