import * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fixtures from './fixtures.js'

const suite = uvu.suite('route table')

const table = routing.routeTable.createRouteTable({
  ...fixtures.DOCUMENT,
  routes: [
    fixtures.ROUTE,
    { ...fixtures.ROUTE, name: 'urgent', prefix: '/questions/urgent/' },
    { ...fixtures.ROUTE, name: 'elsewhere', host: 'other.example' }
  ]
})

const CASES: readonly (readonly [host: string, path: string, route: string | undefined])[] = [
  ['shop.example', '/questions/7', 'questions'],
  ['SHOP.example:8221', '/questions/7', 'questions'],
  ['shop.example', '/questions/urgent/7', 'urgent'],
  ['shop.example', '/questions/urgent', 'questions'],
  ['shop.example', '/questions/urgently/7', 'questions'],
  ['shop.example', '/questions', undefined],
  ['shop.example', '/other/questions/', undefined],
  ['shop.example', '/?q=/questions/', undefined],
  ['shop.example', '/questions/7?next=/questions/urgent/', 'questions'],
  ['other.example', '/questions/7', 'elsewhere'],
  ['unknown.example', '/questions/7', undefined]
]

for (const [host, path, route] of CASES) {
  suite(`${host}${path} is routed to ${route ?? 'nothing'}`, () => {
    assert.is(table.findRoute(host, path)?.name, route)
  })
}

suite('only a key of an organisation finds it', () => {
  assert.is(table.findOrganisation('k-1')?.name, 'maarif')
  assert.is(table.findOrganisation('k-2'), undefined)
})

suite('a route is split by weights', () => {
  const route = { ...fixtures.ROUTE, shares: [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }] }
  assert.is(routing.routeTable.pickService(route, 0), 'a')
  assert.is(routing.routeTable.pickService(route, 0.89), 'a')
  assert.is(routing.routeTable.pickService(route, 0.91), 'b')
})

suite.run()
