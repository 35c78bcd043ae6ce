/**
 * Requests that resume a stream, until the version that began it is known.
 */
import type * as neverthrow from 'neverthrow'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import type * as admission from '../src/admission.js'
import type * as contextModule from '../src/context.js'
import type * as refusal from '../src/refusal.js'
import * as resumption from '../src/resumption.js'

const suite = uvu.suite('resumption')

type Bound = neverthrow.Result<admission.AdmittedRequest, refusal.Reason>

suite('a look-up of a stream that takes too long does not hold the request past its deadline', async () => {
  const request = { resumes: 'begun', route: { resumable: true, shares: [] }, limitMs: 20 } as unknown as admission.AdmittedRequest
  const context = { now: () => 0, resumableServices: () => new Set(['stock']), streams: { find: () => {} } } as unknown as contextModule.Context
  const bound = await new Promise<Bound>((resolve) => { resumption.bindToStream(context, request, resolve) })
  assert.is(bound._unsafeUnwrapErr(), 'timed-out-unsent')
})

suite.run()
